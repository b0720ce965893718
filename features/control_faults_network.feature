Feature: The control state survives lost, doubled, late and one-way messages
  One leader a term, nothing acknowledged lost, no stale read, one history.

  Scenario: Seeds 0 to 349 of lost, doubled, late and one-way messages
    When a control cluster meets "network" from seeds 0 to 349
    Then the control invariants held and changes were acknowledged
    And the control leader changed in some runs
