Feature: Orders to endpoints
  Orders are repeated until done and never overtake each other, also when the leader
  changes and an endpoint takes whatever it is told.

  Scenario: Orders arrive in order through lost messages and a leader change
    When orders are given by two leaders in turn with 200 seeds
    Then every order was done and none was overtaken

  Scenario Outline: Without "<protection>" an endpoint takes an old order
    When orders are given without "<protection>"
    Then an endpoint took an old order

    Examples:
      | protection                    |
      | waiting for the former leader |
      | one at a time                 |
