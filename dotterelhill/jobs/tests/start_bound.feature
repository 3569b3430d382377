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

  Scenario: suspected tasks wait one after the other for the few minions on which they may be alone
    Given a fleet of 8 minions of 32 processors that may crash
    And 48 jobs of 1 task of 1 processors each
    When 0.1 seconds pass while the waits of jobs are measured
    And every minion with runs that are not proven crashes
    And 20 seconds pass while the waits of jobs are measured
    Then no job with a task to start had nothing assigned for more than 3 seconds

  Scenario: suspected lasting tasks wait one after the other for the few minions on which they may be alone
    Given a fleet of 8 minions of 32 processors that may crash
    And 64 jobs of 1 lasting task of 1 processors each
    When 0.1 seconds pass while the waits of jobs are measured
    And every minion with runs that are not proven crashes
    And 20 seconds pass while the waits of jobs are measured
    Then no job with a task to start had nothing assigned for more than 3 seconds

  Scenario: waves of crashes leave more suspected tasks than there are minions to test them on
    Given a fleet of 12 minions of 32 processors that may crash
    And 80 jobs of 1 lasting task of 1 processors each
    When 0.1 seconds pass while the waits of jobs are measured
    And 3 times, every minion with runs that are not proven crashes and 2.2 seconds pass
    And 10 seconds pass while the waits of jobs are measured
    Then no job with a task to start had nothing assigned for more than 3 seconds

  Scenario: innocent tasks that are tested beside a deadly one are given up
    Given a fleet of 8 minions of 32 processors that may crash
    And 48 jobs of 1 task of 1 processors each
    And deadly job "x" of 1 task of 1 processors
    When 30 seconds pass while the waits of jobs are measured
    Then no deadly task was started more than twice after 3 crashes
    And job "x" is shown as "failed"
    And all jobs but "x" are shown as "completed"

  Scenario: a crash under tests that share a minion is held against each innocent task of them for certain
    Given a fleet of 3 minions of 32 processors that may crash
    And 48 jobs of 1 task of 1 processors each
    And task 0 of job "single12" is deadly
    And task 0 of job "single36" is deadly
    When 30 seconds pass while the waits of jobs are measured
    Then no deadly task was started more than twice after 3 crashes
    And all jobs but the deadly ones are shown as "completed"

  Scenario: the wait of a filler of which no minion has headroom begins anew with each leader
    Given a fleet of 4 minions of 32 processors that may crash
    And a serving task on each minion that leaves no headroom for fillers of unknown effect
    And job "f" of 1 filler of 7 processors that takes headroom
    When 1 seconds pass with crashes
    And 1 times, a new leader takes over and 1.5 seconds pass
    Then job "f" has started

  Scenario: the wait of a filler whose starts were refused begins anew with each leader
    Given a fleet of 4 minions of 32 processors that may crash
    And job "f" of 1 filler of 7 processors that takes headroom
    When a serving task starts on each minion, while starts of job "f" are refused for 6 seconds
    And 1 times, a new leader takes over and 1.5 seconds pass
    Then job "f" has started

  Scenario: a filler that may have crashed its minion never starts while serving tasks leave no headroom
    Given a fleet of 4 minions of 32 processors that may crash
    And a serving task on each minion that leaves no headroom for fillers of unknown effect
    And crashed minions are down for 30 seconds
    And job "f" of 1 filler of 7 processors that takes headroom
    When the minion of job "f" crashes as soon as its task has started
    And 15 seconds pass while the waits of jobs are measured
    Then no job with a task to start had nothing assigned for more than 3 seconds
    And job "f" is shown as "completed"

  Scenario: a filler that was lost with two minions for certain never starts while serving tasks leave no headroom
    Given a fleet of 8 minions of 32 processors that may crash
    And a serving task on each minion that leaves no headroom for fillers of unknown effect
    And job "f" of 1 filler of 7 processors that takes headroom
    When a new leader takes over that knows of 2 certain crashes under the tasks of jobs "f"
    And 30 seconds pass while the waits of jobs are measured
    Then job "f" is shown as "completed"

  Scenario: fillers that were lost with two minions for certain crash several with serving tasks at once
    Given a fleet of 8 minions of 32 processors that may crash
    And a serving task on each minion that leaves no headroom for fillers of unknown effect
    And job "f" of 1 filler of 7 processors that takes headroom
    And job "g" of 1 filler of 7 processors that takes headroom
    And crashed minions are down for 30 seconds
    And task 0 of job "f" is deadly
    And task 0 of job "g" is deadly
    When a new leader takes over that knows of 2 certain crashes under the tasks of jobs "f g"
    And 9.8 seconds pass while the waits of jobs are measured
    Then deadly tasks have crashed at most 1 minions
    When 15 seconds pass while the waits of jobs are measured
    Then deadly tasks have crashed at most 2 minions
    And job "f" is shown as "failed"
    And job "g" is shown as "failed"

  Scenario: a filler that was lost with two minions for certain finds none without new runs
    Given a fleet of 1 minions of 32 processors that may crash
    And a serving task on each minion that leaves no headroom for fillers of unknown effect
    And job "f" of 1 filler of 7 processors that takes headroom
    When a new leader takes over that knows of 2 certain crashes under the tasks of jobs "f"
    And jobs of 12 tasks of staggered length come every 0.1 seconds for 5 seconds
    Then job "f" has started

  Scenario: a wave of crashes under fillers that were forced to start leaves them suspected and waiting
    Given a fleet of 8 minions of 32 processors that may crash
    And a serving task on each minion that leaves no headroom for fillers of unknown effect
    And crashed minions are down for 30 seconds
    And tasks of 60 seconds of work
    And 12 jobs of 1 filler of 3 processors that take headroom
    When 8.2 seconds pass with crashes
    And 4 minions that run fillers crash
    And 15 seconds pass while the waits of jobs are measured
    Then no job with a task to start had nothing assigned for more than 3 seconds

  Scenario: an error while the duration of a run is learned leaves its task assigned for ever
    Given a fleet of 2 minions of 8 processors that may crash
    And innocent job "a" of 1 task of 1 processors
    When 0.5 seconds pass with crashes
    And the task of job "a" ends as "done" and its duration can't be learned
    And 3.0 seconds pass with crashes
    Then job "a" is shown as "completed"

  Scenario: an error while a failed run is counted keeps its task from starting again
    Given a fleet of 2 minions of 8 processors that may crash
    And innocent job "a" of 1 task of 1 processors
    When 0.5 seconds pass with crashes
    And the task of job "a" ends as "failed" and its failure can't be counted
    And 3.0 seconds pass with crashes
    Then job "a" is shown as "completed"

  Scenario: an error while the last allowed failure is counted lets a task start more often than maxAttempts
    Given a fleet of 2 minions of 8 processors that may crash
    And innocent job "a" of 1 task of 1 processors
    When 0.5 seconds pass with crashes
    And the task of job "a" ends as "failed" and its failure can't be counted
    And 0.5 seconds pass with crashes
    And the task of job "a" ends as "failed" and its failure can't be counted
    And 3.0 seconds pass with crashes
    Then job "a" is shown as "failed"

  Scenario: an error while a success is processed keeps the steps that depend on it from starting
    Given a fleet of 2 minions of 8 processors that may crash
    And job "a" of 2 steps, the second after the first
    When 0.5 seconds pass with crashes
    And the task of job "a" ends as "done" and its dependents can't be added
    And 3.0 seconds pass with crashes
    Then job "a" is shown as "completed"

  Scenario: a run that is gone keeps its task from starting while no stop order is answered
    Given a fleet of 3 minions of 32 processors that may crash
    And stop orders are neither answered nor carried out
    And innocent job "b" of 1 lasting task of 1 processors
    When 1 seconds pass with crashes
    And the minion of job "b" drains
    And 0.1 seconds pass with crashes
    And the run of job "b" is gone without a listed end
    And 5 seconds pass while the waits of jobs are measured
    Then job "b" runs in full

  Scenario: a stop order that was never answered outlives the minion that is gone
    Given a fleet of 3 minions of 32 processors that may crash
    And crashed minions are down for 60 seconds
    And stop orders are neither answered nor carried out
    And innocent job "b" of 1 lasting task of 1 processors
    When 1 seconds pass with crashes
    And the minion of job "b" drains
    And 0.5 seconds pass with crashes
    And the minion of job "b" crashes
    And 7.5 seconds pass while the waits of jobs are measured
    Then job "b" runs in full

  Scenario: tasks of a job wait for the test of another one of it that no minion can run
    Given a fleet of 3 minions of 32 processors that may crash
    And crashed minions are down for 60 seconds
    And a minion "special" of 32 processors with label "rare" that may crash
    And tasks of 7 seconds of work
    And job "a" of a task that requires label "rare" and of 4 tasks that follow a task elsewhere
    When the minion "special" crashes as soon as a run starts there
    And 12 seconds pass while the waits of jobs are measured
    Then no job with a task to start had nothing assigned for more than 3 seconds

  Scenario: tasks wait although the whole fleet is idle, since other tasks failed on all minions
    Given a fleet of 2 minions of 8 processors that may crash
    And innocent job "x" of 8 tasks of 2 processors
    When 0.2 seconds pass with crashes
    And all tasks of job "x" end as "failed"
    And 0.1 seconds pass with crashes
    And job "x" is cancelled
    And innocent job "a" of 1 task of 1 processors comes
    And 6 seconds pass while the waits of jobs are measured
    Then no job with a task to start had nothing assigned for more than 3 seconds

  Scenario: a claim of a filler outlives the minion that it was made on
    Given a fleet of 1 minions of 8 processors that may crash
    And crashed minions are down for 60 seconds
    And tasks of 20 seconds of work
    And job "k" of 1 filler of 7 processors that takes headroom
    When 0.2 seconds pass with crashes
    And job "f" of 1 filler of 7 processors that takes headroom is submitted
    And 4 seconds pass with crashes
    And the minion of job "k" crashes
    And minion "m8" of 8 processors is listed
    And minion "m9" of 8 processors is listed
    And 0.3 seconds pass with crashes
    Then job "f" has started
    When 7 seconds pass while the waits of jobs are measured
    Then job "k" runs in full

  Scenario: the usage of a tenant counts runs that were lost with their minions under several leaders
    Given a fleet of 4 minions of 8 processors that may crash
    And tasks of 60 seconds of work
    And job "t" of 6 tasks of 2 processors of a tenant whose limit they reach
    When 1 seconds pass with crashes
    And 3 times, the minion of job "t" crashes, a new leader takes over and 9 seconds pass
    Then job "t" runs in full

  Scenario Outline: after waves of crashes a task waits without a bound, or is assigned to no run
    When histories with waves of crashes and new leaders are played with seeds <first> to <last>
    Then in none of them a job waited for more than 3 seconds once all was calm
    And in none of them a task was assigned to a run that no minion has, or the reverse

    Examples:
      | first | last |
      | 1     | 10   |
      | 15    | 15   |
      | 34    | 34   |
