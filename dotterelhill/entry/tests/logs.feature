Feature: Log lines on standard output

  Scenario: A busy leader spends a system call on each of its log lines
    Given a log on a pipe
    When 300 lines are logged in one turn of the event loop and 0.2 seconds pass
    Then all 300 lines arrive in order, with at most 5 writes

  Scenario: A line waits in the buffer while the event loop is late
    Given a log on a pipe
    When a line is logged, and another one 0.12 seconds later before the event loop has run
    Then both lines have arrived

  Scenario: A warning is still in the buffer when its process is killed
    Given a log on a pipe
    When a warning is logged while an event loop runs
    Then its line has arrived at once

  Scenario: A process that ends loses the lines of its last moments
    When a process logs 20 lines on an event loop and ends
    Then its standard output has all 20 lines

  Scenario: A reader that stalls holds up the process, or gets torn lines
    Given a log on a pipe
    When 3000 lines are logged while the reader of the pipe stalls, and 3 after it has read
    Then each line that arrives is whole, and the others are reported as dropped

  # Guards against a timer for each attempt to write, each of which begins another one.
  Scenario: A reader that stalls makes the process try to write more and more often
    Given a log on a pipe
    When its reader stalls, and 20 warnings come 0.05 seconds apart
    Then each warning and each 0.05 seconds have led to at most one attempt to write

  Scenario: A burst of lines exceeds the rate that a deployment has to carry
    Given a log on a pipe that carries 100 lines a second
    When 300 lines are logged in one turn of the event loop and 0.2 seconds pass
    Then 100 lines have arrived, and the next one reports 200 as dropped

  Scenario: A field of a line overwrites the time, or a line without fields is lost
    Given a log on a pipe
    When lines with the fields "time" and "job", with none, and with one that is no JSON are logged
    Then the lines have these fields, and the fields of every line in the documented order
