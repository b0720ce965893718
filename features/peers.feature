Feature: Connections between instances
  A connection that goes silent is replaced, and messages flow again.

  Scenario: An open connection between instances goes silent for good
    Given two instances that exchange messages over a path
    When their open connection goes silent and messages are sent on
    Then a message arrives over a fresh connection within the silence bound

  Scenario: An instance comes back under its address
    Given two instances that exchange messages over a path
    When the listening instance restarts and messages are sent on
    Then a message arrives over a fresh connection within the silence bound
