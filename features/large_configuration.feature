Feature: A large configuration reaches every instance in time over thin links

  Scenario Outline: Configurations that have grown are in force within 1 s
    Given a fleet of <entries> entry instances with links of 15 Mbit/s
    When <routes> routes are added, and then one route is changed 3 times, each 0.3 s
    Then each of these configurations is in force everywhere within 1 s

    Examples:
      | entries | routes |
      | 58      | 1256   |
      | 300     | 12560  |

  Scenario: A relay sends as much for a change as the change is large
    Given fleets of 58 entry instances with 40, 1300 and 12600 routes
    When one route is changed 5 times, each 0.5 s
    Then no relay of the larger fleets sends more than twice as much as in the smallest

  Scenario: Relays that stand still keep a change from nobody else
    Given 8 seeded fleets of 58 entry instances with 40 routes more
    When 2 relays stand still, and 0.1 s later one route is changed
    Then every other instance has the change within 2 s

  Scenario: Control instances that stand still keep a large change from nobody
    Given 5 seeded fleets of 58 entry instances with 40 routes more
    When 4 control instances stand still, and 1256 routes are added
    Then every other instance has the change within 2 s

  Scenario: Updates that are lost are sent again soon
    Given 5 seeded fleets of 58 entry instances with 1300 routes more
    When a tenth of all messages is lost, and one route is changed 10 times, each 0.3 s
    Then every other instance has the change within 2 s

  Scenario: All instances that start at once have a large configuration soon
    Given 1 seeded fleets of 300 entry instances with 12560 routes more
    When all entry instances start again within 0.3 s
    Then every other instance has the change within 1 s

  Scenario Outline: Instances of an earlier build follow and lead beside this one
    Given a fleet of 58 entry instances in which <earlier> read no outlines
    When 100 routes are added, and then one route is changed 10 times, each 1.0 s
    Then every other instance has the change within 2 s

    Examples:
      | earlier                              |
      | the leader                           |
      | all control instances but the leader |
      | every second entry instance          |
      | all entry instances                  |

  Scenario: A leader names no instance as behind that has each change in time
    Given a fleet of 58 entry instances with links of 15 Mbit/s
    When 400 routes are added, and then one route is changed 10 times, each 1.3 s
    Then each of these configurations is in force everywhere within 1 s
    And no instance was named as behind meanwhile
