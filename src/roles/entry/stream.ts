/** Forwards the tokens of an engine's answer after checking each line; every piece must arrive within the progress timeout. */
import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { classifyLine, type AnswerProgress } from '../../core/answer-lines.js'
import type { CallerRequest } from '../../core/caller-request.js'
import { discardBody } from '../../transports/discard-body.js'
import { headers, type AnswerLine } from '../../types/messages.js'
import { monotonicNow } from '../../utils/clock.js'
import type { AttemptInput, AttemptResult } from './attempt-input.js'
import type { AnswerHost } from './host.js'

const maximumLineCharacters = 1 << 16
/** Time in which an ended answer must close before its connection is destroyed. */
const closeTimeoutMilliseconds = 1000
/** Bytes after the end of an answer that are dropped before its connection is closed instead. */
const maximumRestBytes = 65_536
/** Interval at which the progress timeout is restarted while the caller is slow to read. */
const drainRefreshMilliseconds = 100

/** Forwards tokens until the answer ends, a line is wrong, or the progress timeout expires; `onStarted` is called for each received part. */
export async function forwardTokens (host: AnswerHost, input: AttemptInput, answer: IncomingMessage, onStarted: () => void): Promise<AttemptResult> {
  let isTimedOut = false
  const timer = setTimeout(() => {
    isTimedOut = true
    answer.destroy()
  }, host.settings.progressMilliseconds)
  try {
    let rest = ''
    answer.setEncoding('utf8')
    for await (const part of answer.iterator({ destroyOnReturn: false })) {
      onStarted()
      const lines = (rest + String(part)).split('\n')
      rest = lines.pop() ?? ''
      const forwarded = forwardLines(input, lines)
      if (forwarded.tokens > 0) observeProgress(host, input)
      if (forwarded.state === 'end') {
        releaseConnection(answer)
        return { kind: 'answered' }
      }
      if (forwarded.state === 'wrong' || rest.length > maximumLineCharacters) return lost(answer, 'wrong')
      if (input.response.writableNeedDrain) await waitForDrain(input, timer)
      timer.refresh()
    }
    return lost(answer, 'cut')
  } catch {
    return lost(answer, isTimedOut ? 'silent' : 'cut')
  } finally {
    clearTimeout(timer)
  }
}

/** Sends the head of the caller's answer with status 200, unless it was already sent; a later failure is a line of the stream. */
export function startStream (response: ServerResponse, caller: CallerRequest, weights: string, instance: string): void {
  if (response.headersSent) return
  response.writeHead(200, {
    'content-type': 'application/x-ndjson',
    [headers.requestId]: caller.id,
    [headers.outcome]: 'run',
    [headers.weights]: weights,
    [headers.instance]: instance
  })
}

/** Formats one line of a caller's answer as JSON with a line feed. */
export function formatLine (line: AnswerLine): string {
  return `${JSON.stringify(line)}\n`
}

type PieceState = 'more' | 'end' | 'wrong'

/** Forwards the valid lines of a received part in one write. */
function forwardLines (input: AttemptInput, lines: readonly string[]): { readonly state: PieceState, readonly tokens: number } {
  const before = input.tracker.progress
  let progress = before
  let state: PieceState = 'more'
  let text = ''
  for (const line of lines) {
    const checked = classifyLine(progress, line)
    if (checked.kind === 'token') {
      text += formatLine({ type: 'token', id: progress.id, index: progress.next, token: checked.token })
      progress = { ...progress, next: progress.next + 1 }
      continue
    }
    state = checked.kind === 'end' ? 'end' : 'wrong'
    if (state === 'end') text += formatLine({ type: 'end', id: progress.id, tokens: progress.next, weights: progress.weights })
    break
  }
  if (text !== '') writePiece(input, progress, text, state === 'end')
  return { state, tokens: progress.next - before.next }
}

function writePiece (input: AttemptInput, progress: AnswerProgress, text: string, last: boolean): void {
  const { response, caller, upstream, tracker } = input
  startStream(response, caller, progress.weights, upstream.status.instance)
  tracker.progress = progress
  if (last) response.end(text)
  else response.write(text)
}

function observeProgress (host: AnswerHost, input: AttemptInput): void {
  const { tracker, caller, receivedAt, organisationClass } = input
  const now = Date.now()
  const labels = { service: caller.service, organisations: organisationClass }
  if (tracker.lastAt === 0) {
    host.firstByteTracker.record(caller.service, now - receivedAt, now)
    host.metrics.observe('first_token_milliseconds', labels, now - receivedAt)
  }
  if (tracker.lastAt > 0) host.metrics.observe('between_tokens_milliseconds', labels, now - tracker.lastAt)
  tracker.lastAt = now
}

function lost (answer: IncomingMessage, reason: 'cut' | 'silent' | 'wrong'): AttemptResult {
  answer.destroy()
  return { kind: 'lost', reason }
}

/** Lets the connection be reused after the answer's end; destroys it when the answer does not close in time. */
function releaseConnection (answer: IncomingMessage): void {
  discardBody(answer, { maximumBytes: maximumRestBytes, deadline: monotonicNow() + closeTimeoutMilliseconds })
}

/** Waits until a slow caller has read the buffered data; the progress timeout is suspended meanwhile. */
async function waitForDrain (input: AttemptInput, timer: NodeJS.Timeout): Promise<void> {
  const refreshing = setInterval(() => { timer.refresh() }, drainRefreshMilliseconds)
  try {
    await once(input.response, 'drain', { signal: input.signal })
  } finally {
    clearInterval(refreshing)
  }
}
