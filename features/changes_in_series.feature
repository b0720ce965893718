Feature: Acknowledged changes are in force in time while further changes go on

  Scenario: Lost updates leave no instance on an older configuration
    Given 8 seeded fleets whose configuration changes each 0.3, 0.5, 0.7 and 1.0 s
    When the messages to two instances are lost for up to 1.2 s, again and again
    Then each instance in touch for 3.0 s has each version 2.0 s after its acceptance

  Scenario: Updates that overtake others leave no instance on an older configuration
    Given 8 seeded fleets whose configuration changes each 0.3, 0.5, 0.7 and 1.0 s
    When the messages to all instances overtake each other for up to 1.2 s, again and again
    Then each instance in touch for 3.0 s has each version 2.0 s after its acceptance

  Scenario: Lost snapshots leave no instance on an older configuration
    Given 8 seeded fleets whose configuration changes each 0.3, 0.5, 0.7 and 1.0 s
    When the snapshots to two instances are lost, again and again
    Then each instance in touch for 3.0 s has each version 2.0 s after its acceptance

  Scenario: A leader says which instance is behind
    Given a fleet whose configuration changes each 1.0 s
    When the messages to one instance are lost for 4.0 s
    Then the leader has named just that instance as behind, and then as caught up
