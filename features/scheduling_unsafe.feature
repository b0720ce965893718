Feature: The checks of scheduling fail if a protection is removed

  Scenario: If the places of cancelled calls leak, the check fails
    When scheduler runs that leak places use seeds from 1, 3 of them
    Then some scheduler run fails its check
