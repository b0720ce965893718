Feature: Scheduling under faults, from seeds: part 4
  One engine fails for a while, another is slow, and an instance and events are lost.

  Scenario: Each accepted call starts once or is cancelled, and windows are respected, part 4
    When scheduler runs with faults use seeds from 751, 250 of them
    Then every scheduler run starts each call once and respects its windows
