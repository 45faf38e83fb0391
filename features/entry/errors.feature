Feature: Errors of the entry itself at the own interface

  Scenario: An error after the begin of an answer cuts it
    # Guards against a second answer within the first one, which its caller
    # takes for a part of it.
    When a request handler fails after the first part of its answer
    Then its caller got one head and no end of the answer
