Feature: A request that was answered "not run" is not resumed
  An accepted request whose attempt seems to have ended is resumed by another instance.

  Scenario: The attempt was not over and ended as not sent
    When a request is resumed whose first attempt is running and then ends as not sent
    Then it is not sent

  Scenario: A caller's own new attempt runs
    When a caller tries again whose first attempt is running and then ends as not sent
    Then it is sent
