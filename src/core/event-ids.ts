/** Ids of the events of one stream, which show whether a resumed stream goes on where it broke off. */

/** What is known of the ids that a caller has. */
export interface SentIds {
  /** Id of the last event that had one; undefined before the first. */
  readonly last: string | undefined
  /** Largest difference of two consecutive ids; undefined before two of them were numbers. */
  readonly largestStep: number | undefined
}

/** Before the first event. */
export const noIds: SentIds = { last: undefined, largestStep: undefined }

/** Ids after one more event, whose `id` is undefined if it has none. */
export function addId (known: SentIds, id: string | undefined): SentIds {
  if (id === undefined) return known
  const step = stepBetween(known.last, id)
  return { last: id, largestStep: step === undefined ? known.largestStep : Math.max(step, known.largestStep ?? step) }
}

/**
 * Whether an event with this id may follow the known ones: ids rise, and at the event with which another upstream resumes the
 * stream by no more than they have within it, or events in between are missing.
 */
export function mayFollow (known: SentIds, id: string | undefined): boolean {
  const step = stepBetween(known.last, id)
  return step === undefined || (step > 0 && step <= (known.largestStep ?? Infinity))
}

function stepBetween (last: string | undefined, next: string | undefined): number | undefined {
  const step = Number(next ?? NaN) - Number(last ?? NaN)
  return Number.isNaN(step) ? undefined : step
}
