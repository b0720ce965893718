Feature: Scheduling checks that fail where a protection is off

  Scenario: With places of cancelled calls leaked, the check fails
    When scheduler runs that leak places use seeds from 1, 3 of them
    Then some scheduler run fails its check
