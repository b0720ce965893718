Feature: The control state survives an hour of a voter cut off
  One leader a term, nothing acknowledged lost, no stale read, one history.

  Scenario: Seeds 0 to 2 of an hour of a voter cut off
    When a control cluster meets "hour" from seeds 0 to 2
    Then the control invariants held and changes were acknowledged
