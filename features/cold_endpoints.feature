Feature: A cold endpoint gets no more requests than it takes
  An endpoint that has just started, or may have become cold, is sent few requests from
  all instances together. What is over it goes to other endpoints, or is refused at once.

  Scenario: An endpoint that restarts cold under its address is not sent its usual load
    Given a site whose first tool server is cold after each start
    And the tools' service has a rule for cold endpoints
    When 60 requests a second come for 9 s and the first tool server restarts after 2 s
    Then in no second the cold tool server gets more requests than it bears
    And the cold tool server gets at least 5 requests
    And every answer of the load is 200
    And within 1.2 of its cold time the tool server gets its usual load again
    And requests on warm endpoints asked for no permit
