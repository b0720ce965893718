Feature: The checks of fleet runs detect the removal of a protection
  Each protection of the membership protocol is removed by a patch. If no run shows a
  fault then, the checks could not detect that the protection is broken.

  Scenario Outline: Without "<protection>" a fleet run shows a fault
    When fleets run without the protection "<protection>"
    Then a fleet run shows a fault

    Examples:
      | protection                        |
      | lease counted from sending        |
      | grant bound to a version          |
      | wait for the primary's lease      |
      | no grant during a move            |
      | wait for leases of former leaders |
      | views name incarnations           |
      | versions only go forward          |
      | release before a move             |
      | wait for every lease holder       |
      | restart empty only without copies |
