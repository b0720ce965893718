Feature: Leases, versions and shard views under faults, part 5
  Messages are lost, duplicated and reordered. Instances crash, restart empty and are
  cut off in one or both directions. Leaders change, and clock rates differ.

  Scenario: Fleet runs of seeds 501 to 625 keep every invariant
    When fleets run under faults with 125 seeds from 501
    Then no fleet run shows a fault
