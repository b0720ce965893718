Feature: Views built from what changed
  Scenario: A view built step by step equals one built at once
    When 200 view changes are built from seed 1
    Then each view equals the one parsed from the whole text
