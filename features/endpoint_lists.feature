Feature: The list of endpoints reaches every instance at the cost of its changes

  Scenario: A list that stays the same costs the same, however long it is
    Given leaders that publish 20 and 2000 endpoints to 12 instances
    When nothing changes for 20 s
    Then what an instance is sent each second does not depend on the number of endpoints

  Scenario: A change costs what it changes
    Given leaders that publish 20 and 2000 endpoints to 12 instances
    When one endpoint changes each 0.7 s for 20 s
    Then what an instance is sent each second does not depend on the number of endpoints

  Scenario: Lost changes, restarts and new leaders leave no instance with another list
    Given 20 seeded leaders of instances of which some read no changes
    When endpoints change, messages are lost, instances restart and leaders are replaced
    Then 2 s after the last fault every instance has the leader's list
