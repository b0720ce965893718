Feature: Orders to endpoints
  Orders are repeated until done and arrive in order, also when the leader changes and
  an endpoint does not check fencing numbers.

  Scenario: Orders arrive in order despite lost messages and a change of leader
    When orders are sent by two leaders in turn with 200 seeds
    Then every order was done and none arrived after a later one

  Scenario Outline: Without "<protection>" an endpoint accepts an old order
    When orders are sent without "<protection>"
    Then an endpoint accepted an old order

    Examples:
      | protection                      |
      | waiting for the previous leader |
      | one at a time                   |
