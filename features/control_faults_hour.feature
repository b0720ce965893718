Feature: The control state survives an hour with an isolated voter
  One leader per term, no acknowledged change lost, no stale read, one history.

  Scenario: Seeds 0 to 2 of an hour with an isolated voter
    When a control cluster runs with "hour" from seeds 0 to 2
    Then the control invariants hold and changes were acknowledged
