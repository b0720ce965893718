Feature: The publisher keeps followers up to date during continuous changes

  Scenario: A follower that restarts receives the complete state again
    Given a publisher whose state changes every 0.3 s
    And a follower that has reported the latest version
    When the follower restarts and reports version 0
    Then it is up to date within 1.5 s

  Scenario: A lost change is sent again although later changes follow
    Given a publisher whose state changes every 0.3 s
    And a follower that has reported the latest version
    When every message to the follower is lost for 0.5 s
    Then it is up to date within 2.5 s

  Scenario: A follower that missed several versions of a document gets only the last
    Given a publisher and a follower with version 1 of a document of 100000 bytes
    When the follower misses 5 changes of the document and then reports
    Then it is sent the document once, and has the latest version

  Scenario: Changes in a large fleet are not sent again before a report could confirm them
    Given a publisher of a fleet of 64 members whose state changes every 0.33 s
    When its followers report each 1.8 s for 20 s
    Then no change is sent twice to a follower
