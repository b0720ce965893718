Feature: Views are built from the changed sections
  Scenario: A view built from changed sections equals one built from the whole text
    When 200 view changes are built from seed 1
    Then each view equals the one parsed from the whole text
