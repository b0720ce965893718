Feature: Stores of a large fleet form groups
  Each program belongs to one group by the hash of its id, so that a store's work does
  not grow with the number of stores.

  Scenario: A program's records are in one group only
    Given a ledger on 6 stores in 2 groups
    When turn "a" starts program "p", asks "1" and answers "2"
    And turn "b" continues "a" of program "p", asks "3" and answers "4"
    Then turn "c" after "b" of program "p" gets the chain "12 34"
    And 3 stores hold records of turns

  Scenario: A turn may continue one of another program, whose group is found
    Given a ledger on 12 stores in 4 groups
    When turn "a" starts program "p", asks "1" and answers "2"
    Then each of 20 other programs gets the chain "12" after "a"

  Scenario: A turn that no group holds is unknown, and no budget is taken elsewhere
    Given a ledger on 12 stores in 4 groups
    When turn "a" starts program "p", asks "1" and answers "2"
    Then turn "b" after "x" of program "p" is refused as unknown
    And 3 stores hold records of turns

  Scenario: While another group may hold a turn, it is not called unknown
    Given a ledger on 6 stores in 2 groups
    When turn "a" starts program "p", asks "1" and answers "2"
    And the stores of the group of program "p" are cut off
    Then turn "b" after "a" of a program of the other group gets no verdict

  Scenario Outline: Where a stream comes from is told in the reservation alone
    Given a ledger on <stores> stores in <groups> groups
    When turn "a" begins with its stream at "v1"
    Then turn "b" that takes up the stream of "a" finds it at "v1"
    And to begin a turn with a place and a stream to take up takes 3 messages

    Examples:
      | stores | groups |
      | 3      | 1      |
      | 24     | 8      |
      | 96     | 32     |

  Scenario: A store is empty when its own group has copied it
    Given a ledger on 8 stores in 2 groups
    When turn "a" starts program "p", asks "1" and answers "2"
    And the first store of the group of program "p" is emptied
    Then the store is empty within 5 s

  Scenario: The first view deals the stores out over failure domains
    Given 24 stores in 5 failure domains of a fleet that tolerates 2 losses
    Then the first view has 4 groups of 6 stores, each in 5 failure domains
    And the last store of a group may be emptied only if 5 of it remain

  Scenario: The first view waits for stores that still come
    Given 24 stores that come 0.2 s apart to a fleet that tolerates 2 losses
    Then the first view has 4 groups of 6 stores, each in 5 failure domains

  Scenario Outline: A small fleet has one group, and the stores beyond its need stand by
    Given <stores> stores in 3 failure domains of a fleet that tolerates <losses> losses
    Then the first view has 1 group of <members> stores, each in 3 failure domains

    Examples:
      | stores | losses | members |
      | 3      | 1      | 3       |
      | 4      | 1      | 4       |
      | 5      | 2      | 5       |
      | 9      | 2      | 6       |
      | 10     | 2      | 6       |

  Scenario Outline: The loss of a failure domain leaves a quorum of the chosen stores
    Given <stores> stores in 3 failure domains of a fleet that tolerates 2 losses
    Then without any one failure domain a quorum of each group is left

    Examples:
      | stores |
      | 9      |
      | 10     |

  Scenario: A standby replaces a store that stays away, and none that only restarts
    Given 9 stores in 3 failure domains of a fleet that tolerates 2 losses
    When a store of the first group is away for 1 s
    Then the first group has 6 stores
    When a store of the first group is away for 4 s
    Then the first group has 7 stores
    And the view changes one store at a time

  Scenario: A standby takes the place of a store that is to be emptied
    Given 9 stores in 3 failure domains of a fleet that tolerates 2 losses
    When a store of the first group is to be emptied
    Then it is no longer in the view, and the first group has 6 stores

  Scenario: A new store joins the group with the fewest live stores
    Given 24 stores in 5 failure domains of a fleet that tolerates 2 losses
    When a store of the third group is gone and a new store comes
    Then the new store is in the third group
    And the view changes one store at a time

  Scenario Outline: The end of a turn goes to a quorum and one store more at first
    Given a ledger on <stores> stores in 1 groups
    When turn "a" starts program "p" and its end of 17000 bytes is sent
    Then <sent> stores were sent the end
    And all <stores> stores hold turn "a" within 3 s

    Examples:
      | stores | sent |
      | 3      | 3    |
      | 4      | 4    |
      | 6      | 5    |
      | 9      | 6    |

  Scenario: A link too slow for the ends of turns is not filled with repetitions
    Given a ledger on 9 stores in 1 groups
    When turn "a" starts program "p" and its end of 17000 bytes is sent
    And every store is cut off, and 3 s pass
    Then the end was sent again at most 4 times to each store

  Scenario: A turn is stored although stores of the first choice are frozen
    Given a ledger on 9 stores in 1 groups
    When 2 stores that are sent the end of turn "a" first are cut off
    Then turn "a" of program "p" is stored within 0.5 s
