Feature: Programs survive the kill of a process
  The fleet has three real processes in three failure domains. Each has the roles entry
  and control, and a disk.

  Scenario: A process is killed between turns and during calls
    Given a fleet of three processes
    When 9 programs run a turn through one process of the fleet
    And that process is killed with 9 further turns and 4 filings in flight
    Then every program continues through another process with its complete history
    And every filing that was in flight has run at most once, although it is resent
    And a drain without the operator's token is refused with code 2004
    And the killed process restarts with its disk and serves again
