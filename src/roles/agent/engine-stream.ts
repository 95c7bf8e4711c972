/** Reads an engine's answer stream: each line is checked before it is relayed, and a stream without data times out. */
import type { IncomingMessage } from 'node:http'
import { discardBody, briefDiscardLimits } from '../../transports/discard-body.js'
import { classifyLine, type AnswerProgress } from '../../core/answer-lines.js'

const maximumLineCharacters = 1 << 20

/** A line that does not belong to this request, these weights or this position of the answer. */
export class UnexpectedLineError extends Error {
  constructor (message: string) {
    super(message)
    this.name = 'UnexpectedLineError'
  }
}

/** Checks one line; throws `UnexpectedLineError` for a line that does not belong there, and `Error` when the engine cancelled the answer. */
export function checkLine (text: string, progress: AnswerProgress): 'token' | 'end' {
  const checked = classifyLine(progress, text)
  if (checked.kind === 'wrong') throw new UnexpectedLineError(checked.problem)
  if (checked.kind === 'cancelled') throw new Error('the engine cancelled the answer')
  return checked.kind
}

/** Yields the complete lines of each part of the answer; throws when no part arrives within `inactivityTimeoutMilliseconds`. */
export async function * readLineGroups (answer: IncomingMessage, inactivityTimeoutMilliseconds: number): AsyncGenerator<readonly string[]> {
  let rest = ''
  const closeInactive = (): void => { answer.destroy(new Error('no data received within the inactivity timeout')) }
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
    discardBody(answer, briefDiscardLimits())
  }
}
