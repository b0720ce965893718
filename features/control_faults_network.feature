Feature: The control state survives lost, duplicated, delayed and one-way messages
  One leader per term, no acknowledged change lost, no stale read, one history.

  Scenario: Seeds 0 to 349 of lost, duplicated, delayed and one-way messages
    When a control cluster runs with "network" from seeds 0 to 349
    Then the control invariants hold and changes were acknowledged
    And the control leader changed in some runs
