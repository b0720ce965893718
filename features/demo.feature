Feature: The demonstration prints what the README shows

  Scenario: The output of the demonstration equals that in the README
    When the demonstration runs
    Then it exits with exit code 0
    And its lines equal those of the README, except for ports and seconds
