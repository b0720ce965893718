Feature: Scheduling under faults, from seeds: part 1
  An engine fails for a while, one is slow, an instance is lost, events are lost.

  Scenario: Each accepted call starts once or is cancelled, within the windows, part 1
    When scheduler runs with faults use seeds from 1, 250 of them
    Then every scheduler run starts each call once and keeps to its windows
