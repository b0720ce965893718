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

  Scenario: A port that another process has found is not found again
    Given 4 ports of which another process has found 3
    Then the address that is found has the fourth port

  Scenario: A machine that is off is asked again before the silence bound
    Given a link to a machine that answers no connection, with a silence bound of 1 s
    When a message waits for 0.6 s
    Then at least 2 connections were tried
