Feature: Leases and draining in a fleet over sockets
  One control instance and two entries communicate over the loopback interface.

  Scenario: An entry that is cut off refuses a withdrawn key
    Given a fleet site of one control instance and two entries
    When a key is withdrawn at the fleet site while an entry is cut off
    Then the cut-off entry refuses with 1503 and not run within 5 s
    And the withdrawal names "entry-1" as confirmed and "entry-2" as expired

  Scenario: A leaving entry is not resolved
    Given a fleet site of one control instance and two entries
    When an entry of the fleet site leaves
    Then the fleet site resolved "entry-1 entry-2" and then "entry-2"

  Scenario: A leaving endpoint gets no new work
    Given a fleet site of one control instance and two entries
    When the platform reports that the fleet site's engine is leaving
    Then the fleet site sends it no new work after 5 s
