Feature: Accepted jobs take a bounded share of the memory of the smallest process

  Scenario Outline: A leader accepts jobs that a smaller process can't load
    # Guards against LOST of review/3: each process that led exceeded its memory and was killed.
    Given processes "a b c" that have run for 3 seconds
    When the leader may use <own> MB, and a connected process <other> MB
    And 800 jobs of 1 task are submitted
    And 2 seconds pass
    Then the leader <verdict> further jobs

    Examples:
      | own | other | verdict |
      | 300 | 4     | refuses |
      | 4   | 300   | refuses |
      | 300 | 0     | accepts |
      | 0   | 0     | accepts |
