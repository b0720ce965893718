Feature: The control state survives crashes at every sync point
  One leader per term, no acknowledged change lost, no stale read, one history.

  Scenario: Seeds 0 to 349 of crashes at every sync point
    When a control cluster runs with "crashes" from seeds 0 to 349
    Then the control invariants hold and changes were acknowledged
    And the control leader changed in some runs
