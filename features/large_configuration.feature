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
