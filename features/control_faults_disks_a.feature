Feature: The control state survives full and lost disks, first half
  One leader a term, nothing acknowledged lost, no stale read, one history.

  Scenario: Seeds 0 to 149 of full and lost disks, first half
    When a control cluster meets "disks" from seeds 0 to 149
    Then the control invariants held and changes were acknowledged
    And the control leader changed in some runs
