Feature: Turns that name one another do not stop a store
  A caller chooses the id of a turn and of the turn before it, and a store may lack records
  that others have.

  Scenario Outline: A store takes turns that name one another: <turns>
    When a ledger takes the turns "<turns>", each with the one before it
    Then it ends within 2 s, and has <count> turns
    And a chain that begins at "<first>" is not whole

    Examples:
      | turns       | count | first |
      | A:A         | 1     | A     |
      | A:B B:A     | 2     | A     |
      | A:B B:C C:A | 3     | C     |

  Scenario: A caller's turn that names itself does not stop a store that lacks the first
    Given a site whose instances record how they end
    When turn A is stored at stores 1 and 2 only, and comes again naming itself
    Then every instance still runs
    And turns are served again
