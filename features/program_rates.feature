Feature: Programs are admitted whole against their customer's rate
  Only a whole program is useful to its caller. If a customer's callers begin more
  programs than its rate carries, new ones are refused, and those under way end.

  Scenario Outline: Programs that began also end, at <load> times a rate of <rate>
    Given programs of a customer with rate <rate> on <count> instances
    When they begin at <load> times the rate for 2 seeds
    Then no program is lost once it has begun
    And at least 95 in 100 of the requests that the rate carries are of whole programs
    And no window has a request in excess

    Examples:
      | count | rate | load |
      | 3     | 6    | 1.5  |
      | 3     | 13   | 3    |
      | 20    | 6    | 3    |
      | 20    | 13   | 1.5  |
      | 60    | 6    | 1.5  |

  Scenario: Served alike, in order of arrival, more than a tenth of them are lost
    Given programs of a customer with rate 6 on 20 instances, served alike
    When they begin at 1.5 times the rate for 2 seeds
    Then more than 10 in 100 programs are lost once they have begun

  Scenario Outline: Demand below the rate is not refused
    Given programs of a customer with rate <rate> on 20 instances
    When they begin at 0.9 times the rate, evenly, for 3 seeds
    Then no program is lost once it has begun
    And no program is refused

    Examples:
      | rate |
      | 6    |
      | 13   |

  Scenario Outline: Programs under way survive <fault>
    Given programs of a customer with rate 13 on 20 instances
    When they begin at 1.5 times the rate for 3 seeds, with <fault> each 20 s
    Then at most <lost> in 100 programs are lost once they have begun
    And no window has a request in excess

    Examples:
      | fault                           | lost |
      | a crash of the rate's owner     | 1    |
      | a silent owner of the rate      | 1    |
      | a crash of another instance     | 1    |
      | a rate that falls to a half     | 1    |

  Scenario: Without whole programs, a crash of the rate's owner loses many
    Given programs of a customer with rate 13 on 20 instances, served alike
    When they begin at 1.5 times the rate for 1 seeds, with a crash of the rate's owner each 20 s
    Then more than 10 in 100 programs are lost once they have begun

  Scenario: A program whose start is sent again is counted once
    Given a rate of 10 a second that carries one more program
    When program 1 begins
    And program 1 begins again
    Then it is admitted both times and counts as one program under way

  Scenario: Refused programs get times of their own to come again
    Given a rate of 10 a second that carries one more program
    When program 1 begins
    And 6 programs begin at once
    Then those refused get times at least 0.5 s apart, up to 10 s

  Scenario: Requests of programs don't starve others, nor others the starts
    Given programs of a customer with rate 6 on 3 instances
    And requests without a program at 1 times its rate
    When they begin at 3 times the rate for 1 seeds
    Then at least 5 in 100 of the requests without a program are admitted
    Given programs of a customer with rate 6 on 3 instances
    And requests without a program at 5 times its rate
    When they begin at 1 times the rate for 1 seeds
    Then at least 5 programs end whole

  Scenario: Another customer's requests wait no longer beside a flood of programs
    Given programs of a customer with rate 6 on 20 instances
    And another customer at half of a rate of 20
    When they begin at 0.2 times the rate for 1 seeds
    Then the other customer's mean wait is recorded
    Given programs of a customer with rate 6 on 20 instances
    And another customer at half of a rate of 20
    When they begin at 10 times the rate for 1 seeds
    Then the other customer's mean wait is at most 1.3 times that

  Scenario: An owner of an earlier build admits starts like other requests
    Given a holder with a waiting start of a program
    When an owner of an earlier build grants 1 request
    Then the start is admitted
    Given a holder with a waiting start of a program
    When its owner refuses the start for 700 ms
    Then the start is refused with 0.7 s to come again

  Scenario Outline: For the rate, <kind> is <expected>
    Then the kind of <kind> is <expected>

    Examples:
      | kind                                   | expected  |
      | a request without a program            | ALONE     |
      | a call of a program                    | IN_FLIGHT |
      | a turn of a program with an answer     | IN_FLIGHT |
      | a turn of a program without an answer  | START     |
      | a turn that continues a stored one     | IN_FLIGHT |
      | a turn of which earlier builds tell    | IN_FLIGHT |
      | a turn that takes up a stream          | IN_FLIGHT |

  Scenario: A request waits for its rate only as long as its time allows
    Then a request with 10 s left waits 4 s for its rate at most
    And a request with 2 s left waits 1.5 s for its rate at most
    And a request with 2 s left and an objective of 1.2 s waits 0.8 s for its rate at most
