/** Reads an engine's answer stream: every line is checked before it is passed on, and silence has a deadline. */
import type { IncomingMessage } from 'node:http'
import { classifyLine, type AnswerProgress } from '../../core/answer-lines.js'

const maximumLineCharacters = 1 << 20

/** A line that belongs to another request, other weights, or another place in the answer. */
export class UnexpectedLineError extends Error {
  constructor (message: string) {
    super(message)
    this.name = 'WrongLineError'
  }
}

/** Checks one line; throws for one that does not belong at this place of this answer. */
export function checkLine (text: string, progress: AnswerProgress): 'token' | 'end' {
  const verdict = classifyLine(progress, text)
  if (verdict.kind === 'wrong') throw new UnexpectedLineError(verdict.problem)
  if (verdict.kind === 'cancelled') throw new Error('the engine cancelled the answer')
  return verdict.kind
}

/** Yields the lines of each part that arrives; throws when nothing arrives for `silenceMilliseconds`. */
export async function * readLineGroups (answer: IncomingMessage, inactivityTimeoutMilliseconds: number): AsyncGenerator<readonly string[]> {
  let rest = ''
  const closeInactive = (): void => { answer.destroy(new Error('the connection went silent')) }
  let timer = setTimeout(closeInactive, inactivityTimeoutMilliseconds)
  try {
    answer.setEncoding('utf8')
    for await (const part of answer.iterator({ destroyOnReturn: false })) {
      clearTimeout(timer)
      const lines = (rest + String(part)).split('\n')
      rest = lines.pop() ?? ''
      if (rest.length > maximumLineCharacters) throw new UnexpectedLineError('a line is too long')
      if (lines.length > 0) yield lines
      timer = setTimeout(closeInactive, inactivityTimeoutMilliseconds)
    }
  } finally {
    clearTimeout(timer)
    answer.resume()
  }
}
