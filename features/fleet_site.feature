Feature: A fleet over sockets
  One control instance and two entries run over the loopback interface.

  Scenario: A withdrawn key stops on an entry that is cut off
    Given a fleet site of one control instance and two entries
    When a key is withdrawn at the fleet site while an entry is cut off
    Then the cut-off entry refuses with 1503 and not run within 5 s
    And the withdrawal names "entry-1" as confirmed and "entry-2" as lapsed

  Scenario: A leaving entry is not given out
    Given a fleet site of one control instance and two entries
    When an entry of the fleet site leaves
    Then the fleet site resolved "entry-1 entry-2" and then "entry-2"

  Scenario: A leaving endpoint gets no new work
    Given a fleet site of one control instance and two entries
    When the platform says that the fleet site's engine is leaving
    Then the fleet site gives it no new work within 5 s
