Feature: Leases, versions and shard views under faults, part 8
  Messages are lost, doubled and crossed, instances crash, restart empty and are cut
  off in one direction or both, leaders change, and clocks run at other rates.

  Scenario: Fleet runs of seeds 876 to 1000 keep every invariant
    When fleets run under faults with 125 seeds from 876
    Then no fleet run shows a fault
