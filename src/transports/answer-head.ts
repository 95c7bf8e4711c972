/** Which heads an HTTP answer may have; Node's parser lets some more pass. */
import type { IncomingMessage } from 'node:http'

/** Lowest and highest status of a final answer; those below are interim ones or none at all. */
const [lowestFinalStatus, highestFinalStatus] = [200, 599] as const
/** The only major version whose messages the client can read. */
const majorVersion = 1
/** The only transfer coding that a client accepts without asking for it; Node's client removes it. */
const acceptedCoding = 'chunked'
/** Characters of an invalid coding that an error shows. */
const maximumShownLength = 40

/** What is wrong with the head of an answer, of which nothing may be believed then; `text` completes "the answer has". */
export interface HeadProblem {
  readonly reason: 'invalid-status' | 'invalid-head'
  readonly text: string
}

/** The first problem of a final answer's head; undefined for a valid one. */
export function findHeadProblem ({ statusCode = 0, httpVersion, httpVersionMajor, headers }: IncomingMessage): HeadProblem | undefined {
  if (statusCode < lowestFinalStatus || statusCode > highestFinalStatus) return invalidStatus(statusCode)
  if (httpVersionMajor !== majorVersion) return { reason: 'invalid-head', text: `the version HTTP/${httpVersion}, which was not asked for` }
  const coding = headers['transfer-encoding']?.trim().toLowerCase() ?? acceptedCoding
  if (coding !== acceptedCoding) return { reason: 'invalid-head', text: `the transfer coding ${JSON.stringify(coding.slice(0, maximumShownLength))}, which was not asked for` }
  return undefined
}

/** The problem of a status that no final answer has. */
export function invalidStatus (status: number): HeadProblem {
  return { reason: 'invalid-status', text: `status ${status}, which no final answer has` }
}
