Feature: A killed process loses no program
  Three real processes, each entry and control with a disk, in three failure domains.

  Scenario: An instance is killed between turns and in the middle of calls
    Given three processes of a fleet to kill
    When 9 programs run a turn through one process of the fleet
    And that process is killed with 9 further turns and 4 filings under way
    Then every program goes on through another process with its whole history
    And every filing that was under way has run at most once, whatever is resent
    And a drain without the operator's token is refused with code 2004
    And the killed process comes back with its disk and serves again
