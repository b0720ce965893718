Feature: The control state survives full and lost disks, first half
  One leader per term, no acknowledged change lost, no stale read, one history.

  Scenario: Seeds 0 to 149 of full and lost disks, first half
    When a control cluster runs with "disks" from seeds 0 to 149
    Then the control invariants hold and changes were acknowledged
    And the control leader changed in some runs
