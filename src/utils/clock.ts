/** Time as deadlines: epoch milliseconds, and a clock that tests can replace. */

/** Source of the present time. */
export abstract class Clock {
  /** Epoch milliseconds. */
  abstract now (): number

  /** Deadline `milliseconds` from now, for settings that state a duration. */
  after (milliseconds: number): number {
    return this.now() + milliseconds
  }
}

/** The machine's clock. */
export class SystemClock extends Clock {
  now (): number {
    return Date.now()
  }
}

/** A clock that moves only when told. */
export class ManualClock extends Clock {
  constructor (private time = 0) {
    super()
  }

  now (): number {
    return this.time
  }

  /** Sets the time, epoch milliseconds. */
  set (time: number): void {
    this.time = time
  }
}

/** Epoch milliseconds of a clock that no correction of the machine's time moves; it goes on while the process is paused. */
export function monotonicNow (): number {
  return performance.timeOrigin + performance.now()
}

/** Resolves at `deadline`, epoch milliseconds, or when `signal` aborts. */
export function waitUntil (deadline: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted === true) {
      resolve()
      return
    }
    const finish = (): void => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = setTimeout(finish, Math.max(0, deadline - Date.now()))
    signal?.addEventListener('abort', finish, { once: true })
  })
}

/** Resolves at `deadline`, steady milliseconds. */
export function sleepUntil (deadline: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, Math.max(0, deadline - monotonicNow())) })
}

/** Result of a promise, or a failure with `problem` once `deadline`, epoch milliseconds, has passed. */
export function withDeadline<Value> (promise: Promise<Value>, deadline: number, problem: string): Promise<Value> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => { reject(new Error(problem)) }, Math.max(0, deadline - Date.now()))
    promise.then(resolve, reject).finally(() => { clearTimeout(timer) })
  })
}
