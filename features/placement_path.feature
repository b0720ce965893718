Feature: On the platform's path, requests are placed by work
  What endpoints report and callers declare must help, and never fail a request.

  Scenario: Reported work keeps requests away, and unreadable figures fail nothing
    Given a site that places by work, whose first tool server reports 80 waiting requests
    When 40 tool requests are sent to each entry instance
    Then all are served, and the first tool server gets at most 8
    When the first tool server's load header is broken and 40 more are sent to each
    Then all are served, and the first tool server gets at most 8
    When a turn declares "x,45" tokens, the prefix ":,a:-1" and the length "soon"
    Then the turn is served
