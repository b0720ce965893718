Feature: The demonstration is what the README shows

  Scenario: The demonstration's output is the README's
    When the demonstration runs
    Then it ends by itself with exit code 0
    And its lines are those of the README, but for ports and seconds
