Feature: a task whose turn has come starts within its bound while the fleet is under half used

  Scenario: fillers of which no minion can run any take the attempts of those that could start
    Given a fleet of 4 minions of 32 processors that may crash
    And a serving task on each minion that leaves no headroom for fillers of unknown effect
    And 8 jobs of 1 filler of 3 processors that require a missing label
    When 1 seconds pass while the waits of jobs are measured
    And job "f" of 1 filler of 7 processors that takes headroom is submitted
    And 15 seconds pass while the waits of jobs are measured
    Then no job with a task to start had nothing assigned for more than 3 seconds
    And job "f" is shown as "completed"
