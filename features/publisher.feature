Feature: Followers get what they lack while changes keep coming

  Scenario: An instance that restarts among changes gets the whole state again
    Given a publisher whose state changes every 0.3 s
    And a follower that has reported the latest version
    When the follower restarts and reports version 0
    Then it is sent all that it lacks within 1.5 s

  Scenario: A change that was lost on its way is sent again among later changes
    Given a publisher whose state changes every 0.3 s
    And a follower that has reported the latest version
    When every message to the follower is lost for 0.5 s
    Then it is sent all that it lacks within 2.5 s
