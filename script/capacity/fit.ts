/** Least-squares lines through measured points, with their spread. */

/** A measured point. */
export interface Point { readonly size: number, readonly value: number }

/** A fitted line: `value = intercept + slope * size`. */
export interface Fit {
  readonly slope: number
  readonly intercept: number
  /** Largest distance of a point from the line, as a share of the largest value. */
  readonly spread: number
  /** Share of the variance that the line explains. */
  readonly determination: number
}

/** Fits a line through at least two points. */
export function fitLine (points: readonly Point[]): Fit {
  const meanSize = mean(points.map(({ size }) => size))
  const meanValue = mean(points.map(({ value }) => value))
  const covariance = sum(points.map(({ size, value }) => (size - meanSize) * (value - meanValue)))
  const variance = sum(points.map(({ size }) => (size - meanSize) ** 2))
  const slope = variance === 0 ? 0 : covariance / variance
  const intercept = meanValue - slope * meanSize
  const residuals = points.map(({ size, value }) => value - intercept - slope * size)
  const total = sum(points.map(({ value }) => (value - meanValue) ** 2))
  const largest = Math.max(...points.map(({ value }) => Math.abs(value)), Number.MIN_VALUE)
  return {
    slope,
    intercept,
    spread: Math.max(...residuals.map(Math.abs)) / largest,
    determination: total === 0 ? 1 : 1 - sum(residuals.map(residual => residual ** 2)) / total
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean (values: readonly number[]): number {
  return sum(values) / values.length
}
