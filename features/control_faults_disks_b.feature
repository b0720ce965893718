Feature: The control state survives full and lost disks, second half
  One leader per term, no acknowledged change lost, no stale read, one history.

  Scenario: Seeds 150 to 299 of full and lost disks, second half
    When a control cluster runs with "disks" from seeds 150 to 299
    Then the control invariants hold and changes were acknowledged
    And the control leader changed in some runs
