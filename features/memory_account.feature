Feature: Room of a process's memory
  Who gets room, and who has to give it back, without any connection.

  Scenario: Room is given in the order of asking, and what is small does not wait
    Given room for 1000 bytes
    When "a" takes 700 bytes
    And "b" asks for 600 bytes, "c" for 700 and "d" for 20
    Then "d" has its room, and "b" and "c" wait
    When "a" gives its room back
    Then "b" has its room, and "c" waits

  Scenario: All that is large leaves a rest to the others
    Given room for 1000 bytes
    When "a" takes 750 bytes
    Then "b" gets no 100 bytes within the time to wait
    And "c" gets 25 bytes

  Scenario: An owner leaves room to others
    Given room for 1000 bytes
    When the owner "x" takes 400 bytes as "a"
    Then the owner "x" gets no 200 bytes as "b" within the time to wait
    And the owner "y" gets 300 bytes as "c"

  Scenario: One share of an owner may be larger than the owner's part
    Given room for 1000 bytes
    Then the owner "x" gets 700 bytes as "b"

  Scenario: What never fits is refused at once
    Given room for 1000 bytes
    Then "a" gets no 800 bytes at once

  Scenario: Who makes no progress gives its room to who waits, the oldest first
    Given room for 1000 bytes
    When "a" takes 300 bytes and waits for its caller
    And "b" takes 300 bytes and waits for its caller, which sends on
    And "c" takes 100 bytes
    Then "d" gets 300 bytes, and "a" was given up
    And "b" and "c" were not given up

  Scenario: A request that waits for something else than its caller is not given up
    Given room for 1000 bytes
    When "a" takes 300 bytes, gets bytes of its caller, and waits for its endpoint
    Then "d" gets no 600 bytes within the time to wait
    And nobody was given up

  Scenario: A store keeps room for the turns that have begun
    Given a store with room for 100000 bytes
    When turns of 20000 bytes begin until one is refused
    Then 3 have begun, and a turn of 2000 bytes still begins
    When the first of them ends
    Then its reservation counts no more, and its record does
    And after 61 seconds no reservation is left
