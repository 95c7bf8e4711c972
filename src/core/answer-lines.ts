/** Checks an engine's answer line by line: request id, weights, token order, and an explicit end. */

/** Progress of an answer; retained when another upstream resumes it. */
export interface AnswerProgress {
  readonly id: string
  /** Manifest digest that every line must carry. */
  readonly weights: string
  /** Index of the next token. */
  readonly next: number
}

/** Result of checking a line. */
export type LineResult =
  | { readonly kind: 'token', readonly token: string }
  | { readonly kind: 'end' }
  /** The engine ended the answer before it was complete. */
  | { readonly kind: 'cancelled' }
  /** The line is invalid; the rest of the answer cannot be used. */
  | { readonly kind: 'wrong', readonly problem: string }

/** Checks the next line of an answer against its progress. */
export function classifyLine (progress: AnswerProgress, text: string): LineResult {
  const line = parseLine(text)
  if (line === undefined) return wrong('the line is not JSON')
  if (line['id'] !== progress.id) return wrong('the line belongs to another request')
  if (line['weights'] !== progress.weights) return wrong('the line comes from other weights')
  if (line['type'] === 'token') return classifyToken(progress, line)
  if (line['type'] === 'end') return classifyEnd(progress, line)
  return wrong('the line is of no known type')
}

function classifyToken (progress: AnswerProgress, line: Readonly<Record<string, unknown>>): LineResult {
  if (line['index'] !== progress.next) return wrong('a token is missing or doubled')
  if (typeof line['token'] !== 'string') return wrong('the token is not text')
  return { kind: 'token', token: line['token'] }
}

function classifyEnd (progress: AnswerProgress, line: Readonly<Record<string, unknown>>): LineResult {
  if (line['reason'] !== 'complete') return { kind: 'cancelled' }
  if (line['tokens'] !== progress.next) return wrong('the end counts other tokens')
  return { kind: 'end' }
}

function parseLine (text: string): Readonly<Record<string, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === 'object' && value !== null ? value as Readonly<Record<string, unknown>> : undefined
  } catch {
    return undefined
  }
}

function wrong (problem: string): LineResult {
  return { kind: 'wrong', problem }
}
