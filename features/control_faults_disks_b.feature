Feature: The control state survives full and lost disks, second half
  One leader a term, nothing acknowledged lost, no stale read, one history.

  Scenario: Seeds 150 to 299 of full and lost disks, second half
    When a control cluster meets "disks" from seeds 150 to 299
    Then the control invariants held and changes were acknowledged
    And the control leader changed in some runs
