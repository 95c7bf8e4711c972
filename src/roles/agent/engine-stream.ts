/** Reads an engine's answer stream: every line is checked before it is passed on, and silence has a deadline. */
import type { IncomingMessage } from 'node:http'
import { z } from 'zod'
import type { EngineLine } from '../../types/platform.js'

const lineSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('token'), id: z.string(), index: z.number().int(), token: z.string(), weights: z.string() }),
  z.object({ type: z.literal('end'), id: z.string(), tokens: z.number().int(), weights: z.string(), reason: z.enum(['complete', 'cancelled']) })
])
const highestLineCharacters = 1 << 20

/** A line that belongs to another request, other weights, or another place in the answer. */
export class WrongLineError extends Error {
  constructor (message: string) {
    super(message)
    this.name = 'WrongLineError'
  }
}

/** What every line of an answer must match. */
export interface Expected {
  readonly id: string
  readonly weights: string
}

/** Checks one line; `next` is the index of the first token that is still missing. */
export function checkLine (text: string, expected: Expected, next: number): EngineLine {
  const parsed = lineSchema.safeParse(parseJson(text))
  if (!parsed.success) throw new WrongLineError('the line is not one of an answer')
  const line = parsed.data
  if (line.id !== expected.id) throw new WrongLineError('the line belongs to another request')
  if (line.weights !== expected.weights) throw new WrongLineError('the line comes from other weights')
  const index = line.type === 'token' ? line.index : line.tokens
  if (index !== next) throw new WrongLineError('tokens are missing or repeated')
  return line
}

/** Yields the lines of each part that arrives; throws when nothing arrives for `silenceMilliseconds`. */
export async function * lineGroups (answer: IncomingMessage, silenceMilliseconds: number): AsyncGenerator<readonly string[]> {
  let rest = ''
  const giveUp = (): void => { answer.destroy(new Error('the connection went silent')) }
  let timer = setTimeout(giveUp, silenceMilliseconds)
  try {
    answer.setEncoding('utf8')
    for await (const part of answer.iterator({ destroyOnReturn: false })) {
      clearTimeout(timer)
      const lines = (rest + String(part)).split('\n')
      rest = lines.pop() ?? ''
      if (rest.length > highestLineCharacters) throw new WrongLineError('a line is too long')
      if (lines.length > 0) yield lines
      timer = setTimeout(giveUp, silenceMilliseconds)
    }
  } finally {
    clearTimeout(timer)
    answer.resume()
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
