Feature: Programs on the path of the users' platform are admitted whole
  The stores' answer tells the rate which requests begin a program.

  Scenario: Beside many new programs, one under way is served to its end
    Given a site with whole programs and a customer of 5 requests a second
    When a program has its first turn answered
    And 30 other programs begin at once
    Then the next turn and a call of the first program are answered 200
    And some of the others are answered 200, the rest 429 with code 1306 and a time to come again
