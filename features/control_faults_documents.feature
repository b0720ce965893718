Feature: The control state survives faults while documents make it compact by bytes
  One leader per term, no acknowledged change lost, no stale read, one history.

  Scenario: Seeds 0 to 149 of crashes, networks and disks with documents
    When a control cluster runs with "documents" from seeds 0 to 149
    Then the control invariants hold and changes were acknowledged
    And the control leader changed in some runs
    And snapshots were written before the bound on entries
